// Command driver plays the scripts of the second review. It starts instances as separate processes, with the command of the
// deploy file, and holds the stand-ins for the platform's store, the replicas and the clients.
//
// # Usage
//
//	target/review-2/driver CASE
//
// The environment names the program (PROGRAM), a temporary folder (WORK), the file of the record (RECORD) and whether the
// disruption is played (TROUBLE, 0 for no). The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
package main
