package pond

//go:generate go tool enumer -type=Class -trimprefix=Class -transform=lower -text -output=class_enumer.go

// Class is the expected length of a generation.
type Class int

// Work classes. A request is ClassUnknown if its caller sends no class because it does not know the length.
const (
	ClassUnknown Class = iota
	ClassShort
	ClassLong
)
