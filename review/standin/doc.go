// Package standin holds the stand-ins and the scenarios of the scripts under review. They are in test files and run only if
// the environment names a scenario, so that the default test run leaves them out.
//
// # Usage
//
//	review/build.sh
//	REVIEW_CASE=stop REVIEW_RECORD=record.txt review/bin/standin
package standin
