package membudget

// list is a list of accounts that takes no memory of its own.
type list struct {
	head, tail *node
	size       int
}

// node is the place of an account in one list.
type node struct {
	owner      *account
	in         *list
	prev, next *node
}

// first returns the first account, or nil.
func (l *list) first() *account {
	if l.head == nil {
		return nil
	}
	return l.head.owner
}

// nextOwner returns the account behind n, or nil.
func (n *node) nextOwner() *account {
	if n.next == nil {
		return nil
	}
	return n.next.owner
}

// push adds an account at the end.
func (l *list) push(n *node, owner *account) {
	n.owner, n.in, n.prev, n.next = owner, l, l.tail, nil
	if l.tail != nil {
		l.tail.next = n
	} else {
		l.head = n
	}
	l.tail = n
	l.size++
}

// leave removes n from its list, if any.
func (n *node) leave() {
	l := n.in
	if l == nil {
		return
	}
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		l.head = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		l.tail = n.prev
	}
	n.in, n.prev, n.next = nil, nil, nil
	l.size--
}
