// Package standin holds the scripts of the third review. They start the system's own processes on loopback addresses, with stand-ins for the
// platform's store, the replicas and the clients, and check one rule by what these have seen. The default test run plays none of them.
//
// # Usage
//
//	go test -c -o target/standin-3 ./review/standin-3
//	target/standin-3 CASE PROGRAM RECORD
//
// With TROUBLE=0 in the environment there is no disruption. The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
package standin
