package balancer

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/assigner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

const (
	// reportType and ordersType are the first byte of a message of this version.
	reportType = 0x71
	ordersType = 0x72
	limitsType = 0x73
	// softwareReportType is that of a softwareReportMessage. Builds that don't know it give no reply.
	softwareReportType = 0x74
	// maxMessageBytes is the size limit of a message, so that it fits into one packet on every link.
	maxMessageBytes = 1300
	// maxConnected bounds the endpoints with an idle connection that a question names.
	maxConnected = 16
	// tenthsPerFailure is the number of units of faultMessage.Tenths in one failure.
	tenthsPerFailure = 10
	// maxDuration bounds the durations in a message.
	maxDuration = 24 * time.Hour
)

// reportMessage is a VM's report to the assigner of a group, with a question if Number is not zero.
type reportMessage struct {
	_ struct{} `cbor:",toarray"`

	Group        uint64
	VM           string
	Zone         string
	Incarnation  int64
	Sequence     uint64
	Acknowledged uint64
	// WaitingMs holds the times until the waiting batch items are due.
	WaitingMs    []int64
	Loads        []loadMessage
	Faults       []faultMessage
	Slow         []uint64
	Observations []observationMessage
	Engines      []engineMessage

	// The fields below are those of a question.

	Number uint64
	// Route is the route's name, or the text of questionRoute.
	Route       string
	ObjectiveMs int64
	LeftMs      int64
	WaitedMs    int64
	Excluded    []uint64
	Connected   []uint64
}

// softwareReportMessage is a report that names software versions: Software is the one that the question's endpoint must have, or
// zero, and Bound holds those of the waiting items.
type softwareReportMessage struct {
	_ struct{} `cbor:",toarray"`

	Report   reportMessage
	Software uint64
	Bound    []uint64
}

// loadMessage holds the number of the sender's requests in flight at an endpoint.
type loadMessage struct {
	_ struct{} `cbor:",toarray"`

	Key    uint64
	Online uint16
	Batch  uint16
}

// faultMessage holds the recent failures of an endpoint that the sender observed; a failure weighs less the older it is.
type faultMessage struct {
	_ struct{} `cbor:",toarray"`

	Key    uint64
	Tenths uint16
}

type observationMessage struct {
	_ struct{} `cbor:",toarray"`

	Key                    uint64
	FirstByteMs, ServiceMs int64
	HasFailed              bool
}

// engineMessage holds the number of requests that an engine reported when the sender polled it.
type engineMessage struct {
	_ struct{} `cbor:",toarray"`

	Key      uint64
	Requests uint16
}

// ordersMessage holds the orders and replies of a group's assigner to one VM.
type ordersMessage struct {
	_ struct{} `cbor:",toarray"`

	Group uint64
	// VM is the sender.
	VM     string
	Orders []orderMessage
}

// The kinds of orderMessage.
const (
	kindSend = iota + 1
	kindRefuse
	kindOffer
	kindPreempt
)

// orderMessage is one order or reply; which fields are set depends on its kind.
type orderMessage struct {
	_ struct{} `cbor:",toarray"`

	Kind     uint8
	Order    uint64
	Question uint64
	Key      uint64
	// Items is the number of batch items to stop. In a refusal, mayWaitItems says that the VM keeps the request and asks again;
	// earlier builds ignore it there.
	Items           uint16
	Online, Batch   uint16
	EstimateMs      int64
	NeedsPreemption bool
	RetryAfterMs    int64
	Reason          string
}

const mayWaitItems = 1

// questionSeparator separates the parts of questionRoute.
const questionSeparator = "\x00"

// questionRoute returns the name of the request's route; if the request has an account or a priority, these follow.
//
// Earlier builds use the text as the key of a route and for nothing else, so that they answer such questions, too.
func questionRoute(r placer.Request) string {
	if r.Account == "" && r.Priority == 0 {
		return r.Route.Name
	}
	return strings.Join([]string{r.Route.Name, strconv.Itoa(r.Priority), r.Account}, questionSeparator)
}

// splitQuestionRoute returns the parts of questionRoute.
func splitQuestionRoute(text string) (route, account string, priority int) {
	parts := strings.SplitN(text, questionSeparator, 3)
	if len(parts) < 3 {
		return text, "", 0
	}
	n, err := strconv.Atoi(parts[1])
	if err != nil {
		return text, "", 0
	}
	return parts[0], parts[2], n
}

func encodeReport(group assigner.GroupKey, in assigner.Reported, question *assigner.Asked) ([]byte, error) {
	m := reportMessage{
		Group: uint64(group), VM: in.VM, Zone: in.AvailabilityZone, Incarnation: in.Incarnation,
		Sequence: in.Sequence, Acknowledged: in.Acknowledged,
	}
	for _, due := range in.Report.Waiting {
		m.WaitingMs = append(m.WaitingMs, due.Milliseconds())
	}
	for k, l := range in.Report.Loads {
		m.Loads = append(m.Loads, loadMessage{Key: uint64(k), Online: clampCount(l.Online), Batch: clampCount(l.Batch)})
	}
	for k, f := range in.Report.Faults {
		m.Faults = append(m.Faults, faultMessage{Key: uint64(k), Tenths: uint16(min(f*tenthsPerFailure, math.MaxUint16))})
	}
	for _, k := range in.Report.Slow {
		m.Slow = append(m.Slow, uint64(k))
	}
	for _, o := range in.Observations {
		m.Observations = append(m.Observations, observationMessage{
			Key: uint64(o.Key), FirstByteMs: o.FirstByte.Milliseconds(), ServiceMs: o.ServiceTime.Milliseconds(), HasFailed: o.HasFailed,
		})
	}
	for k, n := range in.Engines {
		m.Engines = append(m.Engines, engineMessage{Key: uint64(k), Requests: clampCount(n)})
	}
	named := softwareReportMessage{}
	if question != nil {
		r := question.Request
		m.Number, m.Route, m.ObjectiveMs = question.Number, questionRoute(r), r.Route.Objective.Milliseconds()
		m.LeftMs, m.WaitedMs = r.Left.Milliseconds(), r.Waited.Milliseconds()
		for _, k := range question.Excluded {
			m.Excluded = append(m.Excluded, uint64(k))
		}
		for k := range r.Connected {
			if len(m.Connected) < maxConnected {
				m.Connected = append(m.Connected, uint64(k))
			}
		}
		software, _ := r.Software.Get()
		named.Software = uint64(software)
	}
	for _, s := range in.Report.Bound {
		named.Bound = append(named.Bound, uint64(s))
	}
	if named.Software == 0 && len(named.Bound) == 0 {
		return m.encode(reportType, func(m reportMessage) any { return m })
	}
	return m.encode(softwareReportType, func(m reportMessage) any {
		named.Report = m
		named.Bound = named.Bound[:min(len(named.Bound), len(m.WaitingMs))]
		return named
	})
}

// encode leaves out what a report can do without, in the order of what is missed least, until the message fits a packet; of the
// loads, those of the endpoints with the fewest requests. The message sent is the one that wrap returns.
func (m reportMessage) encode(kind byte, wrap func(reportMessage) any) ([]byte, error) {
	slices.SortFunc(m.Loads, func(a, b loadMessage) int {
		return cmp.Compare(int(b.Online)+int(b.Batch), int(a.Online)+int(a.Batch))
	})
	for {
		b, err := cbor.Marshal(wrap(m))
		if err != nil {
			return nil, errors.Wrap(err, "encode report")
		}
		if len(b) <= maxMessageBytes {
			return append([]byte{kind}, b...), nil
		}
		switch {
		case len(m.Observations) > 0:
			m.Observations = nil
		case len(m.Faults) > 0:
			m.Faults = nil
		case len(m.Engines) > 0:
			m.Engines = nil
		case len(m.Slow) > 0:
			m.Slow = nil
		case len(m.WaitingMs) > 1:
			m.WaitingMs = m.WaitingMs[:len(m.WaitingMs)/2]
		case len(m.Loads) > 0:
			m.Loads = m.Loads[:len(m.Loads)*9/10]
		default:
			return nil, errors.Errorf("report of %d bytes exceeds the limit of %d, even without loads", len(b), maxMessageBytes)
		}
	}
}

func encodeOrders(group assigner.GroupKey, vm string, outputs []assigner.Output) ([]byte, error) {
	m := ordersMessage{Group: uint64(group), VM: vm}
	for _, out := range outputs {
		m.Orders = append(m.Orders, orderOf(out))
	}
	b, err := cbor.Marshal(m)
	return append([]byte{ordersType}, b...), errors.Wrap(err, "encode orders")
}

func orderOf(out assigner.Output) orderMessage {
	switch out := out.(type) {
	case assigner.Placed:
		m := orderMessage{Order: out.Order, Question: out.Question}
		switch d := out.Decision.(type) {
		case placer.Send:
			m.Kind, m.Key = kindSend, uint64(placer.KeyOf(d.Endpoint.ID))
			m.Online, m.Batch = clampCount(d.Load.Online), clampCount(d.Load.Batch)
			m.EstimateMs, m.NeedsPreemption = d.Estimate.Milliseconds(), d.NeedsPreemption
		case placer.Refuse:
			m.Kind, m.Reason = kindRefuse, d.Reason
			m.EstimateMs, m.RetryAfterMs = d.Estimate.Milliseconds(), d.RetryAfter.Milliseconds()
			if d.MayWait {
				m.Items = mayWaitItems
			}
		}
		return m
	case assigner.BatchOffered:
		return orderMessage{Kind: kindOffer, Order: out.Order, Key: uint64(placer.KeyOf(out.Endpoint.ID))}
	case assigner.PreemptionOrdered:
		return orderMessage{Kind: kindPreempt, Order: out.Order, Key: uint64(out.Key), Items: clampCount(out.Items)}
	}
	return orderMessage{}
}

// output returns the order as the assigner gave it; false if it names an unknown endpoint or kind.
func (m orderMessage) output(vm string, endpoints map[placer.Key]registrar.Endpoint) (assigner.Output, bool) {
	e, isKnown := endpoints[placer.Key(m.Key)]
	switch {
	case m.Kind == kindRefuse:
		return assigner.Placed{VM: vm, Question: m.Question, Decision: placer.Refuse{
			Reason: m.Reason, RetryAfter: duration(m.RetryAfterMs), Estimate: duration(m.EstimateMs), MayWait: m.Items == mayWaitItems,
		}}, true
	case !isKnown:
		return nil, false
	case m.Kind == kindSend:
		return assigner.Placed{VM: vm, Question: m.Question, Order: m.Order, Decision: placer.Send{
			Endpoint: e, Load: placer.Load{Online: int(m.Online), Batch: int(m.Batch)}, Estimate: duration(m.EstimateMs),
			NeedsPreemption: m.NeedsPreemption,
		}}, true
	case m.Kind == kindOffer:
		return assigner.BatchOffered{VM: vm, Order: m.Order, Endpoint: e}, true
	case m.Kind == kindPreempt:
		return assigner.PreemptionOrdered{VM: vm, Order: m.Order, Key: placer.Key(m.Key), Items: int(m.Items)}, true
	}
	return nil, false
}

// duration returns a duration of a message within sensible bounds.
func duration(ms int64) time.Duration {
	limit := maxDuration.Milliseconds()
	return time.Duration(max(-limit, min(ms, limit))) * time.Millisecond
}

// message is a reportMessage, a softwareReportMessage, an ordersMessage or a limitsMessage.
type message interface{ isMessage() }

func (reportMessage) isMessage() {}

func (softwareReportMessage) isMessage() {}

func (ordersMessage) isMessage() {}
func (limitsMessage) isMessage() {}

// decode returns the message that the bytes hold; the first one says its type.
func decode(b []byte) (message, error) {
	if len(b) == 0 || len(b) > maxMessageBytes+1 {
		return nil, errors.Errorf("message of %d bytes; it must have 1 to %d", len(b), maxMessageBytes+1)
	}
	switch b[0] {
	case reportType:
		m := reportMessage{}
		if err := cbor.Unmarshal(b[1:], &m); err != nil || m.VM == "" {
			return nil, errors.Errorf("report can't be decoded: %v", err)
		}
		return m, nil
	case softwareReportType:
		m := softwareReportMessage{}
		if err := cbor.Unmarshal(b[1:], &m); err != nil || m.Report.VM == "" {
			return nil, errors.Errorf("report with a software version can't be decoded: %v", err)
		}
		return m, nil
	case ordersType:
		m := ordersMessage{}
		if err := cbor.Unmarshal(b[1:], &m); err != nil || m.VM == "" {
			return nil, errors.Errorf("orders can't be decoded: %v", err)
		}
		return m, nil
	case limitsType:
		m := limitsMessage{}
		if err := cbor.Unmarshal(b[1:], &m); err != nil {
			return nil, errors.Errorf("rate limits can't be decoded: %v", err)
		}
		return m, nil
	}
	return nil, errors.Errorf("message of unknown type %#x", b[0])
}

// reported returns the report as the assigner takes it.
func (m reportMessage) reported() assigner.Reported {
	r := placer.Report{
		VM: m.VM, Loads: make(map[placer.Key]placer.Load, len(m.Loads)),
		Faults: make(map[placer.Key]float64, len(m.Faults)),
	}
	for _, ms := range m.WaitingMs[:min(len(m.WaitingMs), maxWaiting)] {
		r.Waiting = append(r.Waiting, duration(ms))
	}
	for _, l := range m.Loads {
		r.Loads[placer.Key(l.Key)] = placer.Load{Online: int(l.Online), Batch: int(l.Batch)}
	}
	for _, f := range m.Faults {
		r.Faults[placer.Key(f.Key)] = float64(f.Tenths) / tenthsPerFailure
	}
	for _, k := range m.Slow {
		r.Slow = append(r.Slow, placer.Key(k))
	}
	in := assigner.Reported{
		VM: m.VM, AvailabilityZone: m.Zone, Incarnation: m.Incarnation, Sequence: m.Sequence, Acknowledged: m.Acknowledged,
		Report: r, Engines: make(map[placer.Key]int, len(m.Engines)),
	}
	for _, o := range m.Observations {
		in.Observations = append(in.Observations, placer.Observation{
			Key: placer.Key(o.Key), FirstByte: duration(o.FirstByteMs), ServiceTime: duration(o.ServiceMs), HasFailed: o.HasFailed,
		})
	}
	for _, e := range m.Engines {
		in.Engines[placer.Key(e.Key)] = int(e.Requests)
	}
	return in
}

// reported returns the report as the assigner takes it.
func (m softwareReportMessage) reported() assigner.Reported {
	in := m.Report.reported()
	for _, s := range m.Bound[:min(len(m.Bound), len(in.Report.Waiting))] {
		in.Report.Bound = append(in.Report.Bound, registrar.Software(s))
	}
	return in
}

// asked returns the question that the message holds, if there is one.
func (m softwareReportMessage) asked() (assigner.Asked, bool) {
	in, ok := m.Report.asked()
	if m.Software != 0 {
		in.Request.Software = option.Some(registrar.Software(m.Software))
	}
	return in, ok
}

// asked returns the question that the message holds, if there is one.
func (m reportMessage) asked() (assigner.Asked, bool) {
	if m.Number == 0 {
		return assigner.Asked{}, false
	}
	route, account, priority := splitQuestionRoute(m.Route)
	in := assigner.Asked{VM: m.VM, Number: m.Number, Request: placer.Request{
		Route:            registrar.Route{Name: route, Objective: duration(m.ObjectiveMs)},
		AvailabilityZone: m.Zone, Left: duration(m.LeftMs), Waited: duration(m.WaitedMs), Account: account, Priority: priority,
	}}
	if len(m.Connected) > 0 {
		in.Request.Connected = make(map[placer.Key]bool, len(m.Connected))
	}
	for _, k := range m.Connected {
		in.Request.Connected[placer.Key(k)] = true
	}
	for _, k := range m.Excluded {
		in.Excluded = append(in.Excluded, placer.Key(k))
	}
	return in, true
}
