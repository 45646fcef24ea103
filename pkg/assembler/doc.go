// Package assembler puts the daemon together and takes it through its start and its planned stop.
package assembler
