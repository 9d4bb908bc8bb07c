//! The plan for the loss of a whole site.
