//! What the group's log makes when it is applied in order.
