package desire

// Check holds a desired state against the schema.
func Check(raw []byte) error { return nil }
