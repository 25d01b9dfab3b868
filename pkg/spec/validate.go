package spec

// validate returns every fault of the document.
func validate(doc *manifestDoc) Faults {
	var faults Faults
	if doc.Number == 0 {
		faults = append(faults, Fault{path: "number", rule: "must be at least 1"})
	}
	return faults
}
