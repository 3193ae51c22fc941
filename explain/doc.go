// SPDX-License-Identifier: MIT

// Package explain parses the daemons' JSON logs and describes their decisions: for one
// request across all boxes, or as counts by second and route.
//
// A Log holds the lines of all boxes in order of time. Story describes one request, Sum
// counts the outcomes of all, and Rollout describes a service's roll-outs. The package
// needs only the logs and no connection to a daemon.
package explain
