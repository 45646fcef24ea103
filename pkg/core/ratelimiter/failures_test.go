package ratelimiter

import (
	"time"
)

// see changes what one VM knows of another one.
func (w *world) see(v, other *vm, isLost bool) {
	if v.lost[other.name] != isLost {
		v.lost[other.name] = isLost
		v.steadySince = w.now
	}
}

// lose makes other VMs take the VM for lost, each a little later.
func (w *world) lose(v *vm, isStill func() bool) {
	for _, other := range w.vms {
		if other != v && other.part == v.part {
			w.after(w.between(time.Second, 1700*time.Millisecond), func() {
				if isStill() {
					w.see(other, v, true)
				}
			})
		}
	}
}

func (w *world) find(v *vm) {
	for _, other := range w.vms {
		w.after(w.between(50*time.Millisecond, 500*time.Millisecond), func() {
			if !v.isDown {
				w.see(other, v, false)
			}
		})
	}
}

func (w *world) kill(v *vm, back time.Duration) {
	v.isDown = true
	life := v.life
	w.pending[v.name] = nil
	w.lose(v, func() bool { return v.life == life })
	w.after(back, func() {
		w.boot(v)
		w.find(v)
	})
}

func (w *world) freeze(v *vm, d time.Duration) {
	v.frozenUntil = w.now.Add(d)
	w.lose(v, func() bool { return w.now.Before(v.frozenUntil) })
	w.after(d, func() {
		w.find(v)
		// It has heard nothing for long, until the first datagram.
		if d > time.Second {
			v.isConnected = false
			w.after(50*time.Millisecond, func() { v.isConnected = true })
		}
	})
}

// partition cuts the VMs off from the others; both sides learn it a little later.
func (w *world) partition(cut []*vm, d time.Duration) {
	for _, v := range cut {
		v.part = 1
		w.after(w.between(700*time.Millisecond, 1400*time.Millisecond), func() { v.isConnected = v.part == 0 })
	}
	for _, v := range cut {
		for _, other := range w.vms {
			if other.part == 1 {
				continue
			}
			for _, pair := range [][2]*vm{{v, other}, {other, v}} {
				w.after(w.between(time.Second, 1700*time.Millisecond), func() {
					if v.part == 1 {
						w.see(pair[0], pair[1], true)
					}
				})
			}
		}
	}
	w.after(d, func() {
		for _, v := range cut {
			v.part = 0
			w.after(w.between(50*time.Millisecond, 500*time.Millisecond), func() { v.isConnected = !v.isDown })
			w.find(v)
			for _, other := range w.vms {
				w.after(w.between(50*time.Millisecond, 500*time.Millisecond), func() { w.see(v, other, other.isDown) })
			}
		}
	})
}

// disagree makes half of the VMs take the VM for lost for a second.
func (w *world) disagree(v *vm) {
	for i, other := range w.vms {
		// The next in the ranking is among them.
		if other != v && (i%2 == 0 || other.name == w.ranks[w.hot.account.Name][1]) {
			w.see(other, v, true)
			w.after(time.Second, func() { w.see(other, v, v.isDown) })
		}
	}
}

// configure changes the account's rate and burst, at each VM a little later.
func (w *world) configure(y *tally, factor float64) {
	old := y.account
	a := Account{Name: old.Name, Rate: y.mean * 1.6 * factor, Burst: y.mean * 1.6 * factor}
	const spread = 2500 * time.Millisecond
	y.account = a
	y.version++
	version := y.version
	for _, v := range w.vms {
		w.after(w.upTo(spread), func() {
			if v.versions[a.Name] < version {
				v.rates[a.Name], v.versions[a.Name] = a, version
			}
		})
	}
	for i := range y.limits {
		y.limits[i].until = minTime(y.limits[i].until, w.now.Add(spread))
	}
	bound := boundOf(a)
	if a.Rate == 0 {
		bound = 1e9
	}
	y.limits = append(y.limits, limit{bound, w.start.Add(time.Hour)})
	// What the account may send while VMs differ is the least of both.
	y.reference.rate, y.reference.level = min(a.Rate, y.reference.rate), min(y.reference.level, a.Burst, old.Burst)
	w.after(spread, func() {
		if y.version == version {
			y.reference.rate, y.reference.capacity = a.Rate, max(a.Burst, 1)
		}
	})
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// fail lets a failure happen at the flooded account.
func (w *world) fail(kind string) {
	y := w.hot
	rank := w.ranks[y.account.Name]
	first, second := w.byName[rank[0]], w.byName[rank[1]]
	back := w.between(3*time.Second, 20*time.Second)
	switch kind {
	case "none":
	case "killFirst":
		w.kill(first, back)
	case "killBoth":
		w.kill(first, back)
		w.kill(second, back+time.Second)
	case "restartFirst":
		w.kill(first, 500*time.Millisecond)
	case "freezeFirst":
		w.freeze(first, w.between(600*time.Millisecond, 4*time.Second))
	case "partitionFirst":
		w.partition([]*vm{first}, w.between(800*time.Millisecond, 6*time.Second))
	case "partitionOne":
		w.partition([]*vm{w.byName[rank[5]]}, w.between(800*time.Millisecond, 6*time.Second))
	case "partitionGroup":
		cut := []*vm{first}
		for _, name := range rank[len(rank)-len(rank)/10:] {
			cut = append(cut, w.byName[name])
		}
		w.partition(cut, w.between(800*time.Millisecond, 6*time.Second))
	case "partitionMany":
		cut := []*vm{first}
		for i, v := range w.vms {
			if v != first && i%5 < 2 {
				cut = append(cut, v)
			}
		}
		w.partition(cut, w.between(3*time.Second, 6*time.Second))
	case "killAll":
		for _, v := range w.vms {
			w.kill(v, w.between(300*time.Millisecond, 800*time.Millisecond))
		}
	case "disagree":
		w.disagree(first)
	case "lowerRate":
		w.configure(y, 0.1)
		w.after(8*time.Second, func() { w.configure(y, 1) })
	case "storm":
		for i, factor := range []float64{0.1, 1, 0, 0.5, 1} {
			w.after(time.Duration(i)*700*time.Millisecond, func() { w.configure(y, factor) })
		}
	default:
		w.t.Fatalf("unknown failure %q", kind)
	}
}
