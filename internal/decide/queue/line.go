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

// arrivalQueue serves in order of arrival or in its reverse; it is the baseline for comparisons with FairQueue.
type arrivalQueue[T any] struct {
	items       list[T]
	newestFirst bool
}

func (q *arrivalQueue[T]) Push(i *Item[T]) {
	i.queued = true
	q.items.push(i)
}

func (q *arrivalQueue[T]) Pop() *Item[T] {
	i := q.items.head
	if q.newestFirst {
		i = q.items.tail
	}
	if i != nil {
		q.Remove(i)
	}
	return i
}

func (q *arrivalQueue[T]) Remove(i *Item[T]) {
	if !i.queued {
		return
	}
	i.queued = false
	q.items.remove(i)
}

func (q *arrivalQueue[T]) Len() int { return q.items.length }

func (q *arrivalQueue[T]) Ahead(*Item[T]) int {
	if q.newestFirst {
		return 0
	}
	return q.items.length
}

func (q *arrivalQueue[T]) Victim(*Item[T]) *Item[T] {
	if q.newestFirst {
		return q.items.head
	}
	return nil
}

func (q *arrivalQueue[T]) Last() *Item[T] {
	if q.newestFirst {
		return q.items.head
	}
	return q.items.tail
}
