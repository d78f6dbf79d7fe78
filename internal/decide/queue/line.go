package queue

// list is a doubly linked list through its items.
type list[T any] struct {
	head, tail *Item[T]
	length     int
}

func (l *list[T]) push(i *Item[T]) {
	i.prev, i.next = l.tail, nil
	if l.tail == nil {
		l.head = i
	} else {
		l.tail.next = i
	}
	l.tail = i
	l.length++
}

func (l *list[T]) remove(i *Item[T]) {
	if i.prev == nil {
		l.head = i.next
	} else {
		i.prev.next = i.next
	}
	if i.next == nil {
		l.tail = i.prev
	} else {
		i.next.prev = i.prev
	}
	i.prev, i.next = nil, nil
	l.length--
}

// line serves in order of arrival, or in its reverse; it is what the fair queue is compared with.
type line[T any] struct {
	items  list[T]
	newest bool
}

func (l *line[T]) Push(i *Item[T]) {
	i.queued = true
	l.items.push(i)
}

func (l *line[T]) Pop() *Item[T] {
	i := l.items.head
	if l.newest {
		i = l.items.tail
	}
	if i != nil {
		l.Remove(i)
	}
	return i
}

func (l *line[T]) Remove(i *Item[T]) {
	if !i.queued {
		return
	}
	i.queued = false
	l.items.remove(i)
}

func (l *line[T]) Len() int { return l.items.length }

func (l *line[T]) Ahead(*Item[T]) int {
	if l.newest {
		return 0
	}
	return l.items.length
}

func (l *line[T]) Victim(*Item[T]) *Item[T] {
	if l.newest {
		return l.items.head
	}
	return nil
}

func (l *line[T]) Last() *Item[T] {
	if l.newest {
		return l.items.head
	}
	return l.items.tail
}
