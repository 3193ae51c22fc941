// SPDX-License-Identifier: MIT

// Package cloud implements the platform interfaces of package seam with the protocols
// of public clouds: the table with DynamoDB, the object store with S3, and the cloud
// API and the box list with plain JSON over HTTP.
//
//	table := cloud.NewDynamo(cloud.Access{Region: "local"}, "streambend")
//	item, err := table.Get(ctx, seam.Key{Part: "member", Sort: "a"})
package cloud
