// Package resumer tells which software version of endpoints began a stream that a caller resumes, at whichever VM.
//
// While endpoints of several software versions serve, a VM passes on to a few others which version began each of its streams. A
// VM that has to resume one asks those. Which versions there were before a VM started is kept in the store.
package resumer
