// Package bodyreader reads the bodies of callers' requests within the budget of bytes that core/budgeter decides on, and reserves
// bytes of the budget for what else is held for callers.
package bodyreader
