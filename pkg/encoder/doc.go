// Package encoder holds the published chat format that callers and model engines speak, and its event streams.
package encoder
