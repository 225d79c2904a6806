package admission

import "unsafe"

// mapEntryBytes is the approximate size of an entry of a Go map with small keys and values.
const mapEntryBytes = 48

// StateBytes returns the approximate size of the state in bytes, without the strings of the settings.
func (c *Controller) StateBytes() int {
	size := c.tenantDebts.bytes() + c.clientDebts.bytes() + c.evictedDebts.bytes() + c.bookings.bytes()
	size += len(c.requests)*int(unsafe.Sizeof(openRequest{})) + len(c.connections)*int(unsafe.Sizeof(connection{})) + cap(c.expiry)*8
	size += len(c.lastByOrderKey) * mapEntryBytes
	size += (len(c.tenants) + len(c.freeTenants)) * c.tenantBytes()
	size += c.clientCount() * c.clientBytes()
	for i := range c.flows {
		size += cap(c.flows[i].heap) * 8
	}
	return size + cap(c.effects)*int(unsafe.Sizeof(Effect{}))
}

// StateBound returns the upper bound of StateBytes. It depends on the limits and the number of classes only.
func (c *Controller) StateBound() int {
	size := c.tenantDebts.bytes() + c.clientDebts.bytes() + c.evictedDebts.bytes() + c.bookings.bytes()
	size += c.limits.Requests * (int(unsafe.Sizeof(openRequest{})) + 2*8 + mapEntryBytes)
	size += c.limits.ConnectionSlots * (int(unsafe.Sizeof(connection{})) + 2*c.tenantBytes() + 4*c.clientBytes() + 4*8*len(c.classes))
	return size + 4*(c.limits.Requests+c.limits.ConnectionSlots+8)*int(unsafe.Sizeof(Effect{}))
}

func (c *Controller) tenantBytes() int {
	return int(unsafe.Sizeof(tenantAccount{})) + len(c.classes)*int(unsafe.Sizeof(tenantFlow{})) + mapEntryBytes + 2*8
}

func (c *Controller) clientBytes() int {
	return int(unsafe.Sizeof(clientAccount{})) + len(c.classes)*int(unsafe.Sizeof(clientQueue{})) + 3*8
}

func (c *Controller) clientCount() int {
	count := len(c.freeClients)
	for _, tenant := range c.tenants {
		count += len(tenant.clients)
	}
	return count
}
