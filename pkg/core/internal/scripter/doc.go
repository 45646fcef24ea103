// Package scripter runs scripted tests of the core from data files.
//
// A script is a list of steps, `TIME VERB [NAME] [KEY=VALUE ...]`, each followed by the outputs that it must have,
// `=> TEXT`, in order. Time is counted from the script's start; a line that starts with # is a comment.
package scripter
