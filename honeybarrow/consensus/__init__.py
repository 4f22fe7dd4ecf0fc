"""The replicated log of a fleet (Raft), its storage on disk, and the leases issued by its leader."""
