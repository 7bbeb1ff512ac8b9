"""Translation between papayagw and the prepared platform.

The platform's names for fields, paths and headers are known here and nowhere else.
Nothing here decides, keeps state or tries again.
"""
