//! Work in hand: records, and how another conductor takes them over.
