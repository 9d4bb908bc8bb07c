//! What members say to each other.
