// Package emulator stands in for what the system is met by: the platform, model engines and plain services.
//
// It serves development and tests only. The engine's timing is a model without a clock, so that the policy bench
// drives the same engine in virtual time that the stand-in process drives in real time.
package emulator
