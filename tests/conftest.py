"""The same verdict every time: generated examples follow from the tests' text alone."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, database=None)
settings.load_profile("same")
