// SPDX-License-Identifier: MIT

// Package seam holds the small interfaces through which the daemon reaches what
// it does not bring itself: the table service, the object store, the cloud API,
// the list of boxes and the network.
//
// A Table item carries a revision and a nonce, so that a writer whose answer was
// lost can read the item again and recognise its own write:
//
//	w := seam.Write{Key: k, Absent: true, Value: v}
//	err := table.Write(ctx, nonce, w)
//	if seam.Ambiguous(err) { ... Get and compare Nonce ... }
//
// Put does just that. Package cloud holds the adapters of public clouds.
package seam
