package pond

//go:generate go tool enumer -type=Class -trimprefix=Class -transform=lower -text -output=class_enumer.go

// Class is the kind of work a generation is expected to be.
type Class int

// Classes of work. A caller that does not know the length sends no class and the request is ClassUnknown.
const (
	ClassUnknown Class = iota
	ClassShort
	ClassLong
)
