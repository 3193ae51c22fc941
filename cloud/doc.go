// SPDX-License-Identifier: MIT

// Package cloud adapts the seams to the protocols of public clouds: the table to
// DynamoDB, the object store to S3, and the cloud API and the list of boxes to
// plain JSON over HTTP.
//
//	table := cloud.NewDynamo(cloud.Access{Region: "local"}, "streambend")
//	item, err := table.Get(ctx, seam.Key{Part: "member", Sort: "a"})
package cloud
