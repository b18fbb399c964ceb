"""Keep the configuration: bundles, their chain, their head and spreading."""
