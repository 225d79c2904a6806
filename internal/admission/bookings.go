package admission

import "foxlane/rules"

// This file owns the bookings: clients that come back at their Retry-After are queued first.

// booking is a Retry-After that was sent, for a client that is expected to come back then.
type booking struct {
	client   uint64 // 0: the place is free
	bookedAt rules.Time
	due      rules.Time
	next     int32 // of the same client, or of the free places
}

// bookingTable holds the bookings that are not expired, in a table of fixed size: per client, in the order in which
// they were made.
type bookingTable struct {
	bookings   []booking
	firstFree  int32
	byClient   map[uint64]bookingList
	sweepIndex int // the place that expireSome looks at next
}

// bookingList is the list of a client's bookings, linked by their places in the table.
type bookingList struct{ first, last, count int32 }

const bookingBytes = 32 + mapEntryBytes

func newBookingTable(bytes int) bookingTable {
	n := max(bytes/bookingBytes, 16)
	t := bookingTable{bookings: make([]booking, n), byClient: make(map[uint64]bookingList, n)}
	for i := range t.bookings {
		t.bookings[i].next = int32(i) + 1
	}
	t.bookings[n-1].next = noSlot
	return t
}

func (t *bookingTable) bytes() int { return len(t.bookings) * bookingBytes }

// dropFirst drops the oldest booking of a client.
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

// dropExpired drops the expired bookings at the head of a client's list.
func (t *bookingTable) dropExpired(client uint64, list bookingList, now rules.Time) bookingList {
	for list.count > 0 && t.bookings[list.first].expired(now) {
		list = t.dropFirst(client, list)
	}
	return list
}

// expireSome drops the expired bookings of the clients at two places of the table, the next two at each call, so
// that no sweep is needed.
func (t *bookingTable) expireSome(now rules.Time) {
	for range 2 {
		t.sweepIndex = (t.sweepIndex + 1) % len(t.bookings)
		if client := t.bookings[t.sweepIndex].client; client != 0 {
			t.dropExpired(client, t.byClient[client], now)
		}
	}
}

// add makes a booking. One client holds at most a quarter of the table, and a full table takes none:
// what goes beyond is not booked, though the client has its Retry-After.
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

// claim returns the oldest booking of a client, and drops it, if the client does not come too early for it.
func (t *bookingTable) claim(client uint64, now rules.Time) (claimed booking, ok bool) {
	list := t.dropExpired(client, t.byClient[client], now)
	if list.count == 0 {
		return booking{}, false
	}
	first := t.bookings[list.first]
	if now < first.due-min(rules.Time(earlyFraction*float64(first.due-first.bookedAt)), maxEarly) {
		return booking{}, false
	}
	t.dropFirst(client, list)
	return first, true
}

// addBooking records a Retry-After, so that the client is queued first if it comes then.
func (c *Controller) addBooking(client uint64, after rules.Time) {
	c.bookings.add(client, c.now, after)
}

// claimBooking marks a request as booked if its client comes at its Retry-After.
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
