package cursor

// Seal returns the encoded cursor c.
func (s *Sealer) Seal(c *Cursor) (string, error) {
	w, err := s.Writer(c)
	if err != nil {
		return "", err
	}
	return string(w.Append(nil, c.Position)), nil
}
