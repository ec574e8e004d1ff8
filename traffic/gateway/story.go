package gateway

// storyBook keeps the last requests for the query shell.
type storyBook struct{}
