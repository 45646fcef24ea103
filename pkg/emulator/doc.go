// Package emulator emulates the systems that the daemon talks to: the platform, model engines and plain services.
//
// It is for development and tests only. The engine's timing is a model without a clock, so that the policy bench can run
// it in virtual time and the stand-in process in real time.
package emulator
