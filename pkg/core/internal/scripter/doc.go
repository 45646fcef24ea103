// Package scripter runs scripted tests of the core packages from data files.
//
// A script is a list of steps, `TIME VERB [NAME] [KEY=VALUE ...]`. Each step is followed by its expected outputs in order,
// one `=> TEXT` per line. TIME is a Go duration since the script's start; a line that starts with # is a comment.
package scripter
