package peerpb

// Release is the number of this release in datagrams. It rises by one with each landing that adds to the messages between instances or changes
// what one does on receiving them.
const Release = 3

// OldestRelease is the number of the oldest release that is supported beside this one. Those before release 1 state no number, which is read as 0.
const OldestRelease = 0
