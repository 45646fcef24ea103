// Package follower keeps this VM's configuration at the newest revision that it has heard of.
package follower
