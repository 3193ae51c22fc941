// SPDX-License-Identifier: MIT

// Command streambend serves language-model runners and plain services on
// reclaimable boxes.
//
//	streambend try                       the whole system on stand-ins
//	streambend bench                     our policies against the baselines
//	streambend serve --settings FILE     a daemon
//	streambend check --settings FILE     checks settings
//	streambend intent submit --file FILE an intent, answered with a plan
//	streambend status                    what a daemon knows of the system
package main
