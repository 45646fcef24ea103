// Package inspector decides which request heads may be written to a connection, and which of their headers are forwarded.
//
// A parser has checked the heads of online requests, but the items of batch jobs come as JSON, in which a path or a header may
// hold any text. The load pattern is a hostile or careless caller: each item of a job has a head that HTTP/1.1 can't carry, that
// frames its body twice, or that ends early and goes on with another request.
package inspector
