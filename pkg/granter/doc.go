// Package granter runs the keepers of this VM and asks those of others for slots.
package granter
