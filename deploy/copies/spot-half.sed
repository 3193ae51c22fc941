# Reclaimable endpoints at half the price on demand.
s/spot_price = [0-9.]+/spot_price = 0.5/g
