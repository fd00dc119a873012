package link

import "context"

type priorityKey struct{}

// WithPriority returns a context that carries the priority of a request, from 0 (highest), to the code that opens its
// stream.
func WithPriority(ctx context.Context, priority int) context.Context {
	return context.WithValue(ctx, priorityKey{}, priority)
}

// Priority returns the priority that ctx carries, or 0.
func Priority(ctx context.Context) int {
	priority, _ := ctx.Value(priorityKey{}).(int)
	return priority
}
