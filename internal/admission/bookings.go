package admission

import "foxlane/rules"

// This file manages bookings. A booking records that a client was sent a Retry-After. If the client returns at that
// time, its request is queued ahead of its requests without a booking.

// booking is an entry of the table: a client that is expected to return at a given time.
type booking struct {
	client   uint64     // clientAccount.key; 0: the entry is free
	bookedAt rules.Time // when the Retry-After was sent
	due      rules.Time // when the client is expected
	next     int32      // next entry of the same client, or next free entry
}

// bookingTable holds the bookings of all clients in a fixed number of entries. The bookings of a client are linked in
// the order in which they were made.
type bookingTable struct {
	bookings   []booking
	firstFree  int32                  // noSlot: the table is full
	byClient   map[uint64]bookingList // by clientAccount.key
	sweepIndex int                    // the last entry that expireSome examined
}

// bookingList is the list of a client's bookings, linked by their index in the table.
type bookingList struct{ first, last, count int32 }

const bookingBytes = 32 + mapEntryBytes

func newBookingTable(bytes int) bookingTable {
	entries := max(bytes/bookingBytes, 16)
	t := bookingTable{bookings: make([]booking, entries), byClient: make(map[uint64]bookingList, entries)}
	for i := range t.bookings {
		t.bookings[i].next = int32(i) + 1
	}
	t.bookings[entries-1].next = noSlot
	return t
}

func (t *bookingTable) bytes() int { return len(t.bookings) * bookingBytes }

// dropFirst removes the oldest booking of a client and returns the remaining list.
func (t *bookingTable) dropFirst(client uint64, list bookingList) bookingList {
	i := list.first
	list.first, list.count = t.bookings[i].next, list.count-1
	if list.count == 0 {
		delete(t.byClient, client)
	} else {
		t.byClient[client] = list
	}
	t.bookings[i] = booking{next: t.firstFree}
	t.firstFree = i
	return list
}

// expired reports whether the client can no longer claim the booking.
func (b *booking) expired(now rules.Time) bool {
	return now > b.due+max(minLateAllowance, b.due-b.bookedAt)
}

// dropExpired removes the expired bookings at the head of a client's list and returns the remaining list.
func (t *bookingTable) dropExpired(client uint64, list bookingList, now rules.Time) bookingList {
	for list.count > 0 && t.bookings[list.first].expired(now) {
		list = t.dropFirst(client, list)
	}
	return list
}

// expireSome removes the expired bookings of the clients at the next two entries of the table. Calling it for each new
// booking makes a full sweep unnecessary.
func (t *bookingTable) expireSome(now rules.Time) {
	for range 2 {
		t.sweepIndex = (t.sweepIndex + 1) % len(t.bookings)
		if client := t.bookings[t.sweepIndex].client; client != 0 {
			t.dropExpired(client, t.byClient[client], now)
		}
	}
}

// add records a booking, unless the table is full or the client already holds a quarter of it. The client then still
// receives its Retry-After, but has no booking.
func (t *bookingTable) add(client uint64, now, after rules.Time) {
	t.expireSome(now)
	list := t.byClient[client]
	if t.firstFree == noSlot || int(list.count) >= max(len(t.bookings)/4, 1) {
		return
	}
	i := t.firstFree
	t.firstFree = t.bookings[i].next
	t.bookings[i] = booking{client, now, now + after, noSlot}
	if list.count == 0 {
		list.first = i
	} else {
		t.bookings[list.last].next = i
	}
	list.last = i
	list.count++
	t.byClient[client] = list
}

// claim removes and returns the oldest booking of a client that has not expired. ok is false if there is none, or if
// the client is too early for it.
func (t *bookingTable) claim(client uint64, now rules.Time) (claimed booking, ok bool) {
	list := t.dropExpired(client, t.byClient[client], now)
	if list.count == 0 {
		return booking{}, false
	}
	first := t.bookings[list.first]
	if now < first.due-min(rules.Time(earlyAllowanceFraction*float64(first.due-first.bookedAt)), maxEarlyAllowance) {
		return booking{}, false
	}
	t.dropFirst(client, list)
	return first, true
}

// addBooking records that a client was sent a Retry-After.
func (c *Controller) addBooking(client uint64, after rules.Time) {
	c.bookings.add(client, c.now, after)
}

// claimBooking marks a request as booked if its client has returned at its Retry-After.
func (c *Controller) claimBooking(request *openRequest) {
	claimed, ok := c.bookings.claim(request.client.key, c.now)
	if !ok {
		return
	}
	request.booked, request.bookedAt, request.bookedDelay = true, claimed.bookedAt, max(claimed.due-claimed.bookedAt, 1)
	request.couldStartAt = c.now
	if tenant := request.client.tenant; tenant.queued == 0 {
		request.couldStartAt = max(tenant.emptySince, claimed.bookedAt)
	}
}
