// Package driver holds the scripts of the second review. They start instances as separate processes, with the command of the deploy file, and
// hold the stand-ins for the platform's store, the replicas and the clients. The default test run plays none of them.
//
// # Usage
//
//	go test -c -o target/review-2/driver ./review/standin-2
//	target/review-2/driver CASE
//
// The environment names the program (PROGRAM), a temporary folder (WORK), the file of the record (RECORD) and whether the
// disruption is played (TROUBLE, 0 for no). The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
package driver
