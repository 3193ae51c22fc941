// SPDX-License-Identifier: MIT

// Package standin implements test doubles of the systems around streambend:
// the platform's table, object store and cloud API, the model engines and the
// plain services. Only tests and "streambend try" use them.
//
// A stand-in accepts only the requests that the adapters send and rejects
// all others. Each supports fault injection:
//
//	tab := standin.NewTable()
//	tab.Faults.Set(standin.Fault{Down: true})
//
// Memory is the same table without HTTP, for tests that run in virtual time.
package standin
