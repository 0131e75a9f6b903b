package feed

// Sources returns the addresses of the source replicas, in order of preference: replicas of
// the daemon's own data centre come first. The caller owns the list.
func (c *Client) Sources() []string { return c.sources() }
