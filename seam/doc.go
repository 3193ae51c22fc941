// SPDX-License-Identifier: MIT

// Package seam defines the interfaces between the daemon and its environment: the table service, the
// object store, the cloud API, the list of boxes and the network.
//
// A Table item has a revision and a nonce, so that a writer that lost the answer to a write can read
// the item again and recognize its own write:
//
//	w := seam.Write{Key: k, Value: v} // Rev 0: the item must not exist
//	err := table.Write(ctx, nonce, w)
//	if seam.Ambiguous(err) { ... Get and compare Nonce ... }
//
// Put does that. Package cloud has the adapters for public clouds.
package seam
