// Package inspector asks engines for their load while some VM is silent, whose requests nobody else knows of.
package inspector
