// Package crowd runs a VM as a process, sends it crowds of clients that exceed the limits, and checks that the process lives,
// stays within its memory and its descriptors, and answers an ordinary request.
//
// All of it is in test files. The tests are not parallel and start no other load, and they check no times.
package crowd
