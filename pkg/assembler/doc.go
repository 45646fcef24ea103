// Package assembler wires the daemon's components together with fx and runs its start and its graceful shutdown.
package assembler
