// Package peerpb holds the messages and drpc services that entry instances use between themselves.
//
// The code is generated from peer.proto and committed, so that a build needs no generator. To regenerate it, install
// Debian's protobuf-compiler and run go generate in this folder.
//
// # Usage
//
//	client := peerpb.NewDRPCMembersClient(conn)
//	reply, err := client.SyncMembers(ctx, &peerpb.SyncMembersRequest{Members: members})
package peerpb

//go:generate go build -o ../../bin/ google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
//go:generate protoc --plugin=../../bin/protoc-gen-go --plugin=../../bin/protoc-gen-go-drpc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto
