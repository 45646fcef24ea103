// Package quarantiner decides which parts of prompts are kept from endpoints because requests with them crash endpoints.
//
// Load pattern: requests that share one part of their prompts come at all VMs, and each crashes the endpoint that begins to
// answer it. Sound requests share the other parts, and run beside them when the endpoint ends. A part is quarantined when
// requests with it were at several endpoints as these ended, and none with it was completed meanwhile. Each whole request, which
// may come again and again, is a part of its own.
package quarantiner
