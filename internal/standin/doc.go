// SPDX-License-Identifier: MIT

// Package standin holds the small stand-ins for what surrounds streambend:
// the platform's table, object store and cloud, the model engines and the
// plain services. They serve tests and "streambend try" and nothing else.
//
// A stand-in recognises just the requests that our adapters send and refuses
// the rest. Each has switches for the faults it can show:
//
//	tab := standin.NewTable()
//	tab.Faults.Set(standin.Fault{Down: true})
//
// Memory is the same table without HTTP, for tests in virtual time.
package standin
