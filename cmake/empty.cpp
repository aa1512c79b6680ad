// The precompiled headers belong to a target, and a target has a source.
