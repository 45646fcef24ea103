package option

// Option is a value of type T that may be absent; its zero value is absent.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an Option that holds v.
func Some[T any](v T) Option[T] {
	return Option[T]{value: v, present: true}
}

// None returns an absent Option.
func None[T any]() Option[T] {
	return Option[T]{}
}

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) {
	return o.value, o.present
}
