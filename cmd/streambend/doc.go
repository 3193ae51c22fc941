// SPDX-License-Identifier: MIT

// Command streambend serves language-model runners and plain services on
// reclaimable boxes.
//
//	streambend try                       runs the whole system on simulated services
//	streambend bench                     compares the default policies with the baselines
//	streambend serve --settings FILE     runs a daemon
//	streambend check --settings FILE     checks settings
//	streambend intent submit --file FILE submits an intent and prints its plan
//	streambend status                    shows the system as one daemon sees it
package main
